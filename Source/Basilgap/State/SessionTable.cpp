#include "Basilgap/State/SessionTable.h"

namespace basilgap::state {

schema::CommandOutcome SessionTable::apply(const schema::OpenSession &command, uint64_t stampMs)
{
    const EntryId entry(command.entry());
    const schema::SessionState *existing = find(entry);
    if (existing != nullptr && existing->incarnation() == command.incarnation()) {
        schema::CommandOutcome outcome;
        outcome.set_again(true);
        return outcome;
    }
    close(entry, stampMs);
    schema::SessionState session;
    session.set_entry(command.entry());
    session.set_incarnation(command.incarnation());
    session.set_zone(command.zone());
    session.set_peer_address(command.peer_address());
    session.set_number(nextNumber_++);
    const EntryNumber number(session.number());
    open_[entry] = number;
    sessions_[number] = std::move(session);
    return {};
}

schema::CommandOutcome SessionTable::apply(const schema::CloseSession &command, uint64_t stampMs)
{
    const EntryId entry(command.entry());
    const schema::SessionState *existing = find(entry);
    if (existing != nullptr && existing->incarnation() == command.incarnation())
        close(entry, stampMs);
    return {};
}

void SessionTable::close(const EntryId &entry, uint64_t stampMs)
{
    const auto found = open_.find(entry);
    if (found == open_.end())
        return;
    schema::SessionState &session = sessions_[found->second];
    session.set_closed(true);
    session.set_closed_ms(stampMs);
    open_.erase(found);
}

const schema::SessionState *SessionTable::find(const EntryId &entry) const
{
    const auto found = open_.find(entry);
    return found == open_.end() ? nullptr : find(found->second);
}

const schema::SessionState *SessionTable::find(EntryNumber number) const
{
    const auto found = sessions_.find(number);
    return found == sessions_.end() ? nullptr : &found->second;
}

void SessionTable::remove(EntryNumber number)
{
    const schema::SessionState *session = find(number);
    if (session != nullptr && session->closed())
        sessions_.erase(number);
}

schema::SessionSnapshot SessionTable::save() const
{
    schema::SessionSnapshot snapshot;
    for (const auto &[number, session] : sessions_)
        *snapshot.add_sessions() = session;
    snapshot.set_next_number(nextNumber_);
    return snapshot;
}

void SessionTable::restore(const schema::SessionSnapshot &snapshot)
{
    sessions_.clear();
    open_.clear();
    for (const auto &session : snapshot.sessions()) {
        const EntryNumber number(session.number());
        sessions_[number] = session;
        if (!session.closed())
            open_[EntryId(session.entry())] = number;
    }
    nextNumber_ = snapshot.next_number();
}

} // namespace basilgap::state

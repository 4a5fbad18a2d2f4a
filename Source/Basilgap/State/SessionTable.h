#pragma once

#include <map>
#include <optional>

#include "Basilgap/Common/Ids.h"
#include "State.pb.h"

namespace basilgap::state {

// Number of the session of one incarnation of an entry, which keeps allotments small.
using EntryNumber = StrongType<struct EntryNumberTag, uint32_t>;

// The entries known to the cell. Each incarnation of an entry process has its own session.
class SessionTable
{
public:
    // Opens a session and closes that of an earlier incarnation of the same entry.
    schema::CommandOutcome apply(const schema::OpenSession &command, uint64_t stampMs);
    schema::CommandOutcome apply(const schema::CloseSession &command, uint64_t stampMs);

    // The open session of the entry, or null.
    const schema::SessionState *find(const EntryId &entry) const;
    const schema::SessionState *find(EntryNumber number) const;

    // Open and closed sessions.
    const std::map<EntryNumber, schema::SessionState> &all() const { return sessions_; }

    // Removes a closed session. The caller makes sure that nothing is allotted to it any more.
    void remove(EntryNumber number);

    schema::SessionSnapshot save() const;
    void restore(const schema::SessionSnapshot &snapshot);

private:
    void close(const EntryId &entry, uint64_t stampMs);

    std::map<EntryNumber, schema::SessionState> sessions_;
    std::map<EntryId, EntryNumber> open_;
    uint32_t nextNumber_ = 1;
};

} // namespace basilgap::state

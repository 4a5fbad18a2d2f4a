#pragma once

#include <map>
#include <optional>

#include "Basilgap/Common/Ids.h"
#include "State.pb.h"

namespace basilgap::state {

// Small number of one life of an entry, used in allotments.
using EntryNumber = StrongType<struct EntryNumberTag, uint32_t>;

// The entries that the cell knows. Each life of an entry process has a session of its own.
class SessionTable
{
public:
    // Opens a session; one of an earlier life of the same entry is closed.
    schema::CommandOutcome apply(const schema::OpenSession &command, uint64_t stampMs);
    schema::CommandOutcome apply(const schema::CloseSession &command, uint64_t stampMs);

    // The open session of an entry.
    const schema::SessionState *find(const EntryId &entry) const;
    const schema::SessionState *find(EntryNumber number) const;

    // Open and closed ones.
    const std::map<EntryNumber, schema::SessionState> &all() const { return sessions_; }

    // Forgets a closed session to which nothing is allotted any more.
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

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "Basilgap/State/WorkRefs.h"
#include "Work.pb.h"

namespace basilgap::state {

// Cancellations of jobs that were not known when they were logged. The submission of such a job may
// still be under way, and must not be run when it arrives. Times are those of the state, in Unix
// milliseconds.
class EarlyCancellations
{
public:
    // Callers may cancel ids that no job will ever have, so the number of entries is limited.
    static constexpr size_t MaxPerAccount = 10000;
    static constexpr size_t MaxEntries = 50000;

    bool contains(const std::string &id) const { return entries_.contains(id); }
    bool hasRoomFor(const AccountName &account) const;
    // Time of the entry that expires first among those whose removal makes room for the account;
    // empty if it has room.
    std::optional<uint64_t> roomTakenSinceMs(const AccountName &account) const;
    // A repeated cancellation only moves the time of its entry. Returns false if there is no room.
    bool add(const std::string &id, const AccountName &account, uint64_t stampMs);
    // Returns whether there was such an entry.
    bool remove(const std::string &id);
    void expire(uint64_t nowMs, uint64_t retentionMs);

    size_t size() const { return entries_.size(); }
    // Time of the oldest entry; 0 if there is none.
    uint64_t oldestMs() const;

    void save(schema::WorkSnapshot *snapshot) const;
    void restore(const schema::WorkSnapshot &snapshot);

private:
    struct Entry
    {
        AccountName account;
        uint64_t stampMs = 0;
    };

    void insert(const std::string &id, const Entry &entry);

    std::unordered_map<std::string, Entry> entries_;
    // The ids of each account by time; no account is without ids.
    std::map<AccountName, std::set<std::pair<uint64_t, std::string>>> byAccount_;
};

} // namespace basilgap::state

#pragma once

#include <map>
#include <string>

#include "Basilgap/State/SessionTable.h"
#include "State.pb.h"

namespace basilgap::state {

// Number of something that is divided between the entries: a backend server's slots or a team's
// limit.
using AllotmentKeyNumber = StrongType<struct AllotmentKeyTag, uint32_t>;

struct Allotment
{
    uint32_t amount = 0;
    // Index of the record that set the amount.
    uint64_t epoch = 0;
};

// How much of each key every entry may use. The sums over the entries never exceed what the leader
// decided to hand out, whichever leader that was.
class AllotmentTable
{
public:
    using ByEntry = std::map<EntryNumber, Allotment>;

    schema::CommandOutcome apply(const schema::AllotmentBatch &command, uint64_t index);

    const ByEntry &allotmentsOf(AllotmentKeyNumber key) const;
    Allotment allotmentOf(AllotmentKeyNumber key, EntryNumber entry) const;
    uint32_t sumOf(AllotmentKeyNumber key) const;
    bool hasAllotment(EntryNumber entry) const;

    const std::map<AllotmentKeyNumber, std::string> &keys() const { return keys_; }
    // Number of the key with the name; 0 when there is none.
    AllotmentKeyNumber findKey(const std::string &name) const;
    uint32_t nextKey() const;

    schema::AllotmentSnapshot save() const;
    void restore(const schema::AllotmentSnapshot &snapshot);

private:
    std::map<AllotmentKeyNumber, std::string> keys_;
    std::map<std::string, AllotmentKeyNumber> keysByName_;
    std::map<AllotmentKeyNumber, ByEntry> allotments_;
    std::map<EntryNumber, uint32_t> keyCountOfEntry_;
};

} // namespace basilgap::state

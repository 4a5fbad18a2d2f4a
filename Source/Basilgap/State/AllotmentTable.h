#pragma once

#include <map>
#include <string>

#include "Basilgap/State/SessionTable.h"
#include "State.pb.h"

namespace basilgap::state {

// Number of a quantity that is divided among the entries: the slots of a backend server or the
// limit of a team.
using AllotmentKeyNumber = StrongType<struct AllotmentKeyTag, uint32_t>;

struct Allotment
{
    uint32_t amount = 0;
    // Index of the log record that set the amount.
    uint64_t epoch = 0;
};

// The amount of each key that each entry may use. As all changes go through the log, the sum over
// the entries never exceeds what the leaders granted, also across a change of leader.
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
    // Number of the key with this name; 0 if there is none.
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

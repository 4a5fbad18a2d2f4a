#include "Basilgap/State/DurationModel.h"

#include <algorithm>
#include <array>
#include <bit>
#include <map>
#include <vector>

#include "Basilgap/Common/Hash.h"
#include "Basilgap/State/DurationHistogram.h"

namespace basilgap::state {

namespace {

// Ratios of duration to estimate from 2^-5 to 2^5, as multiples of 2^-16.
constexpr int FirstRatioBucket = 4 * (16 - 5);
constexpr int RatioBuckets = 4 * 10;
// Durations from 16 ms to 4.6 hours.
constexpr int FirstDurationBucket = 4 * 4;
constexpr int DurationBuckets = 4 * 20;

// The wider group counts as many runs at most. Tasks of one step resemble each other, and a step of
// the customers has 10 to 21 tasks, so that a narrow group counts for more once it has seen about
// two steps.
constexpr uint64_t PriorRuns = 10;
// Resolution of the weights of a wider group.
constexpr uint64_t MixScale = 64;
constexpr uint64_t MixRunWeight = DurationHistogram::RunWeight * MixScale;

// A kind of worker has a ratio only with this many runs, and only by groups with this many.
constexpr uint32_t MinRunsForKind = 20;
constexpr uint32_t MinRunsForKindSample = 8;

// Longer durations are taken as this long.
constexpr uint64_t MaxDurationMs = uint64_t{ 1 } << 32;

enum class GroupLevel : char { All, Queue, Size, Account, Kind };

constexpr size_t SubjectLevels = 4;

// A key of a group, hashed so that its size does not depend on the lengths of names.
class KeyBuilder
{
public:
    explicit KeyBuilder(GroupLevel level)
    {
        text_.reserve(UsualLength);
        text_.push_back(static_cast<char>(level));
    }

    KeyBuilder &with(std::string_view name) { return with(name.size()).append(name); }

    KeyBuilder &with(uint64_t number)
    {
        std::array<char, sizeof(number)> bytes{};
        for (size_t i = 0; i < bytes.size(); i++)
            bytes[i] = static_cast<char>(number >> (8 * i));
        return append({ bytes.data(), bytes.size() });
    }

    uint64_t hash() const { return checksum(text_); }

private:
    static constexpr size_t UsualLength = 128;

    KeyBuilder &append(std::string_view text)
    {
        text_.append(text);
        return *this;
    }

    std::string text_;
};

// Requested processors as a power of two, and whether the task runs in a gang.
uint64_t sizeClassOf(const schema::StepSpec &spec)
{
    return static_cast<uint64_t>(std::bit_width(spec.millicores())) * 2 + (spec.gang() ? 1 : 0);
}

uint64_t accountKey(const DurationSubject &subject)
{
    return KeyBuilder(GroupLevel::Account)
        .with(subject.queue)
        .with(sizeClassOf(subject.spec))
        .with(subject.account)
        .with(subject.spec.image())
        .hash();
}

// The keys of the subject's groups, the widest first.
std::array<uint64_t, SubjectLevels> keysOf(const DurationSubject &subject)
{
    return { KeyBuilder(GroupLevel::All).hash(),
        KeyBuilder(GroupLevel::Queue).with(subject.queue).hash(),
        KeyBuilder(GroupLevel::Size).with(subject.queue).with(sizeClassOf(subject.spec)).hash(),
        accountKey(subject) };
}

uint64_t kindKey(std::string_view workerKind)
{
    return KeyBuilder(GroupLevel::Kind).with(workerKind).hash();
}

uint64_t ratioOf(uint64_t duration, uint64_t reference)
{
    return std::min(duration, MaxDurationMs) * DurationBasis::RatioUnit / reference;
}

uint32_t reversedBits(uint8_t value)
{
    uint32_t reversed = 0;
    for (int bit = 0; bit < 8; bit++)
        reversed |= ((value >> bit) & 1U) << (7 - bit);
    return reversed;
}

struct Group
{
    DurationHistogram ratios{ FirstRatioBucket, RatioBuckets };
    DurationHistogram durations{ FirstDurationBucket, DurationBuckets };
    uint64_t lastRun = 0;
    uint32_t lastWork = 0;
};

// Adds up the distributions of a subject's groups, from the widest to the narrowest. A wider group
// counts as PriorRuns of the next one at most.
class MixedDistribution
{
public:
    void add(const DurationHistogram &histogram)
    {
        first_ = histogram.first();
        weights_.resize(static_cast<size_t>(histogram.size()));
        if (total_ > PriorRuns * MixRunWeight)
            scaleDown();
        const std::vector<uint64_t> own = histogram.weights();
        for (size_t i = 0; i < own.size(); i++)
            weights_[i] += own[i] * MixScale;
        total_ += uint64_t{ histogram.total() } * MixScale;
    }

    std::optional<QuantilePositions> quantiles() const { return quantilesOf(weights_, first_); }
    uint32_t runs() const { return static_cast<uint32_t>(total_ / MixRunWeight); }

private:
    void scaleDown()
    {
        const uint64_t before = total_;
        total_ = 0;
        for (uint64_t &weight : weights_) {
            weight = weight * PriorRuns * MixRunWeight / before;
            total_ += weight;
        }
    }

    std::vector<uint64_t> weights_;
    uint64_t total_ = 0;
    int first_ = 0;
};

std::optional<DurationQuantiles> toQuantiles(
    const std::optional<QuantilePositions> &positions, uint32_t runs)
{
    if (!positions || runs == 0)
        return std::nullopt;
    return DurationQuantiles{ valueAt(positions->low), valueAt(positions->median),
        valueAt(positions->high), runs };
}

} // namespace

uint64_t DurationSubject::key() const
{
    return accountKey(*this);
}

std::optional<DurationQuantiles> DurationBasis::forEstimate(uint64_t estimateMs) const
{
    if (estimateMs == 0 || !ratio || (duration && !prefersRatio))
        return duration;
    const auto scaled = [estimateMs](uint64_t value) {
        return std::max<uint64_t>(1, std::min(estimateMs, MaxDurationMs) * value / RatioUnit);
    };
    return DurationQuantiles{ scaled(ratio->low), scaled(ratio->median), scaled(ratio->high),
        ratio->runs };
}

struct DurationModel::Data
{
    // Sorted, so that every replica drops the same one of groups that were counted last together.
    std::map<uint64_t, Group> groups;
    uint64_t runs = 0;

    Group &groupFor(uint64_t key);
    void recordKind(const ObservedRun &run, const Group &reference);
};

DurationModel::DurationModel()
    : data_(std::make_unique<Data>())
{}

DurationModel::~DurationModel() = default;
DurationModel::DurationModel(DurationModel &&) noexcept = default;
DurationModel &DurationModel::operator=(DurationModel &&) noexcept = default;

Group &DurationModel::Data::groupFor(uint64_t key)
{
    const auto found = groups.find(key);
    if (found != groups.end())
        return found->second;
    if (groups.size() >= MaxGroups)
        groups.erase(
            std::min_element(groups.begin(), groups.end(), [](const auto &left, const auto &right) {
                return left.second.lastRun < right.second.lastRun;
            }));
    return groups[key];
}

// Compares the run with the forecast by the narrowest group, before the run is counted there.
void DurationModel::Data::recordKind(const ObservedRun &run, const Group &reference)
{
    if (run.workerKind.empty() || run.isCensored
        || reference.durations.runs() < MinRunsForKindSample)
        return;
    const uint64_t estimate = run.subject.spec.estimate_ms();
    const auto durations = reference.durations.quantiles();
    const auto ratios = reference.ratios.quantiles();
    const bool usesRatio = estimate > 0 && ratios && ratios->spread() <= durations->spread();
    const uint64_t expected = usesRatio
        ? std::min(estimate, MaxDurationMs) * valueAt(ratios->median) / DurationBasis::RatioUnit
        : valueAt(durations->median);
    Group &kind = groupFor(kindKey(run.workerKind));
    kind.lastRun = runs;
    kind.ratios.add(ratioOf(run.duration, std::max<uint64_t>(1, expected)), false);
}

void DurationModel::record(const ObservedRun &run)
{
    data_->runs++;
    const uint64_t estimate = run.subject.spec.estimate_ms();
    const auto work = static_cast<uint32_t>(run.work);
    // Successive censored runs are spread evenly over the durations above their bounds.
    const uint32_t spread = reversedBits(static_cast<uint8_t>(data_->runs));
    const std::array keys = keysOf(run.subject);
    for (size_t level = keys.size(); level-- > 0;) {
        Group &group = data_->groupFor(keys[level]);
        group.lastRun = data_->runs;
        if (level == keys.size() - 1)
            data_->recordKind(run, group);
        if (run.isCensored) {
            group.durations.addCensored(run.duration, spread);
            if (estimate > 0)
                group.ratios.addCensored(ratioOf(run.duration, estimate), spread);
            continue;
        }
        const bool isIndependent = group.lastWork != work;
        group.lastWork = work;
        group.durations.add(run.duration, isIndependent);
        if (estimate > 0)
            group.ratios.add(ratioOf(run.duration, estimate), isIndependent);
    }
}

DurationBasis DurationModel::basis(const DurationSubject &subject) const
{
    MixedDistribution ratios;
    MixedDistribution durations;
    for (const uint64_t key : keysOf(subject)) {
        const auto found = data_->groups.find(key);
        if (found == data_->groups.end())
            continue;
        ratios.add(found->second.ratios);
        durations.add(found->second.durations);
    }
    const auto ratio = ratios.quantiles();
    const auto duration = durations.quantiles();
    return { .duration = toQuantiles(duration, durations.runs()),
        .ratio = toQuantiles(ratio, ratios.runs()),
        .prefersRatio = ratio && duration && ratio->spread() <= duration->spread() };
}

std::optional<DurationQuantiles> DurationModel::forecast(const DurationSubject &subject) const
{
    return basis(subject).forEstimate(subject.spec.estimate_ms());
}

std::optional<uint64_t> DurationModel::kindRatio(std::string_view workerKind) const
{
    const auto found = data_->groups.find(kindKey(workerKind));
    if (found == data_->groups.end() || found->second.ratios.runs() < MinRunsForKind)
        return std::nullopt;
    return valueAt(found->second.ratios.quantiles()->median);
}

uint64_t DurationModel::runs() const
{
    return data_->runs;
}

size_t DurationModel::groups() const
{
    return data_->groups.size();
}

std::string DurationModel::save() const
{
    schema::DurationModelState state;
    state.set_runs(data_->runs);
    for (const auto &[key, group] : data_->groups) {
        schema::DurationGroupState *saved = state.add_groups();
        saved->set_key(key);
        saved->set_last_run(group.lastRun);
        saved->set_last_work(group.lastWork);
        group.ratios.save(saved->mutable_ratios());
        group.durations.save(saved->mutable_durations());
    }
    return state.SerializeAsString();
}

void DurationModel::restore(const std::string &bytes)
{
    *data_ = Data();
    schema::DurationModelState state;
    bool isValid =
        state.ParseFromString(bytes) && state.groups_size() <= static_cast<int>(MaxGroups);
    data_->runs = state.runs();
    for (const auto &saved : state.groups()) {
        Group group;
        group.lastRun = saved.last_run();
        group.lastWork = saved.last_work();
        isValid = isValid && group.lastRun <= state.runs() && group.ratios.restore(saved.ratios())
            && group.durations.restore(saved.durations());
        if (!isValid)
            break;
        data_->groups.emplace(saved.key(), std::move(group));
    }
    if (!isValid)
        *data_ = Data();
}

} // namespace basilgap::state

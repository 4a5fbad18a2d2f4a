#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Work.pb.h"

namespace basilgap::state {

// What is known of a task before it runs, as far as its duration may depend on it.
struct DurationSubject
{
    std::string_view queue;
    std::string_view account;
    const schema::StepSpec &spec;

    // Hash of the narrowest group of the subject. Subjects with the same key have the same forecast
    // apart from their estimates.
    uint64_t key() const;
};

// A run that has ended, or one that was ended before it was done.
struct ObservedRun
{
    DurationSubject subject;
    // Kind label of the worker; empty: unknown.
    std::string_view workerKind;
    // Serial number of the job.
    uint64_t work = 0;
    // In milliseconds, above 0.
    uint64_t duration = 0;
    // The run was ended before it was done, so that the duration is only a lower bound.
    bool isCensored = false;
};

// Forecast of a duration in milliseconds.
struct DurationQuantiles
{
    uint64_t low = 0;
    uint64_t median = 0;
    uint64_t high = 0;
    // Number of runs behind it, as far as they have not decayed.
    uint32_t runs = 0;
};

// A forecast for all tasks with the same key, whatever their estimates.
struct DurationBasis
{
    // Quantiles of the duration in milliseconds and of its ratio to the estimate, in multiples of
    // RatioUnit; absent without runs, or without runs that had an estimate.
    std::optional<DurationQuantiles> duration;
    std::optional<DurationQuantiles> ratio;
    // The ratio varies less than the duration.
    bool prefersRatio = false;

    static constexpr uint64_t RatioUnit = 65536;

    std::optional<DurationQuantiles> forEstimate(uint64_t estimateMs) const;
};

// Learns the durations of tasks from ended runs. Part of the replicated state: it uses integers
// only, and no clock. Groups with few runs are drawn towards the wider group: account and size,
// size, queue, all.
class DurationModel
{
public:
    // The least recently counted group is dropped beyond this number. A group is saved in at most
    // 182 bytes, so all together stay below 64 KiB.
    static constexpr size_t MaxGroups = 352;

    DurationModel();
    ~DurationModel();
    DurationModel(const DurationModel &) = delete;
    DurationModel &operator=(const DurationModel &) = delete;
    DurationModel(DurationModel &&) noexcept;
    DurationModel &operator=(DurationModel &&) noexcept;

    void record(const ObservedRun &run);

    DurationBasis basis(const DurationSubject &subject) const;
    std::optional<DurationQuantiles> forecast(const DurationSubject &subject) const;
    // Median duration on workers of the kind relative to the forecast, in multiples of
    // DurationBasis::RatioUnit; absent while there are few runs.
    std::optional<uint64_t> kindRatio(std::string_view workerKind) const;

    // Number of runs counted since the beginning.
    uint64_t runs() const;
    size_t groups() const;

    std::string save() const;
    // A damaged state gives an empty model, since a forecast must not keep a replica from starting.
    void restore(const std::string &bytes);

private:
    struct Data;

    std::unique_ptr<Data> data_;
};

} // namespace basilgap::state

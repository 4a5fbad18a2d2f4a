#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace basilgap {

// A value that can be compared only with values of the same tag and is created explicitly. Tag is
// an empty struct that names the meaning, Value the representation.
template<typename Tag, typename Value>
class StrongType
{
public:
    StrongType() = default;
    explicit StrongType(Value value)
        : value_(std::move(value))
    {}

    const Value &value() const { return value_; }

    auto operator<=>(const StrongType &) const = default;

private:
    Value value_{};
};

} // namespace basilgap

template<typename Tag, typename Value>
struct std::hash<basilgap::StrongType<Tag, Value>>
{
    size_t operator()(const basilgap::StrongType<Tag, Value> &id) const
    {
        return std::hash<Value>()(id.value());
    }
};

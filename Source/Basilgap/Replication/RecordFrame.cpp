#include "Basilgap/Replication/RecordFrame.h"

#include <algorithm>
#include <cstring>

#include "Basilgap/Common/Hash.h"

namespace basilgap::replication {

namespace {

// The checksum of the length, truncated to 4 bytes.
uint32_t lengthChecksum(uint32_t length)
{
    return static_cast<uint32_t>(
        checksum({ reinterpret_cast<const char *>(&length), sizeof length }));
}

bool allZero(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == 0; });
}

} // namespace

void appendFrame(std::string *out, std::string_view content)
{
    const auto length = static_cast<uint32_t>(content.size());
    const uint32_t lengthSum = lengthChecksum(length);
    const uint64_t contentSum = checksum(content);
    out->append(reinterpret_cast<const char *>(&length), sizeof length);
    out->append(reinterpret_cast<const char *>(&lengthSum), sizeof lengthSum);
    out->append(reinterpret_cast<const char *>(&contentSum), sizeof contentSum);
    out->append(content);
}

Frame readFrame(std::string_view bytes, size_t offset)
{
    const std::string_view rest = bytes.substr(offset);
    if (rest.size() < FrameHeaderBytes)
        return { .state = FrameState::Torn, .content = {}, .length = 0 };
    uint32_t length = 0;
    uint32_t lengthSum = 0;
    uint64_t contentSum = 0;
    std::memcpy(&length, rest.data(), sizeof length);
    std::memcpy(&lengthSum, rest.data() + 4, sizeof lengthSum);
    std::memcpy(&contentSum, rest.data() + 8, sizeof contentSum);
    // After a crash a file may have grown although its bytes were not written: it then ends in
    // zeros.
    if (length > MaxFrameBytes || lengthSum != lengthChecksum(length))
        return { .state = allZero(rest) ? FrameState::Torn : FrameState::Damaged,
            .content = {},
            .length = 0 };
    const size_t total = FrameHeaderBytes + length;
    if (rest.size() < total)
        return { .state = FrameState::Torn, .content = {}, .length = total };
    const std::string_view content = rest.substr(FrameHeaderBytes, length);
    const FrameState state =
        checksum(content) == contentSum ? FrameState::Complete : FrameState::Damaged;
    return { .state = state, .content = content, .length = total };
}

} // namespace basilgap::replication

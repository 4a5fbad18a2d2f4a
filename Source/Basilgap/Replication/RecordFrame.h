#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace basilgap::replication {

// Bytes before the content of a framed record: length, checksum of the length, checksum of the
// content.
constexpr size_t FrameHeaderBytes = 16;

// Largest content of a record, in bytes.
constexpr size_t MaxFrameBytes = 256 * 1024 * 1024;

void appendFrame(std::string *out, std::string_view content);

enum class FrameState {
    Complete,
    // The bytes end inside the record, as after a crash during a write.
    Torn,
    // The bytes are there and wrong.
    Damaged,
};

struct Frame
{
    FrameState state = FrameState::Torn;
    std::string_view content;
    // Bytes that the record takes, header included; known unless the header itself is bad.
    size_t length = 0;
};

// Reads the record at the offset.
Frame readFrame(std::string_view bytes, size_t offset);

} // namespace basilgap::replication

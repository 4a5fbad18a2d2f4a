#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace basilgap::replication {

// Size of the header of a framed record: length, checksum of the length, checksum of the content.
constexpr size_t FrameHeaderBytes = 16;

// Largest content of a record, in bytes.
constexpr size_t MaxFrameBytes = 256 * 1024 * 1024;

void appendFrame(std::string *out, std::string_view content);

enum class FrameState {
    Complete,
    // The bytes end within the record, as after a crash during a write.
    Torn,
    // The record has its full length but a wrong checksum, or its header is corrupt.
    Damaged,
};

struct Frame
{
    FrameState state = FrameState::Torn;
    std::string_view content;
    // Size of the record including its header; 0 if the header is incomplete or corrupt.
    size_t length = 0;
};

// Reads the framed record at the offset.
Frame readFrame(std::string_view bytes, size_t offset);

} // namespace basilgap::replication

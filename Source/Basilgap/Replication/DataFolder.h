#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Replication/DiskFile.h"
#include "Basilgap/Replication/DiskReserve.h"

namespace basilgap::replication {

// A file of the folder and its size in bytes.
struct FileSize
{
    std::string name;
    uint64_t bytes = 0;
};

// A folder whose files are replaced atomically. The descriptors that this needs are opened in
// advance, and disk space is held in reserve, since a process that has run out of either must still
// be able to save its state.
class DataFolder
{
public:
    DataFolder() = default;
    ~DataFolder();
    DataFolder(DataFolder &&other) noexcept;
    DataFolder &operator=(DataFolder &&other) noexcept;

    // Opens an existing folder. Files for further contents that a full disk has no space for are
    // created later.
    static Result<DataFolder> open(const std::string &path, DiskCalls &calls);

    // Replaces the content of a file: after a crash it holds either the old or the new content, and
    // the new one once syncNames() has succeeded. Returns the new file, which stays open. On a full
    // disk the reserve is released. After a transient error (see isTransient()) nothing has been
    // replaced; after any other the state on disk is unknown.
    Result<DiskFile> replace(const std::string &name, std::string_view content);

    // Makes all replacements durable. After a transient error it may be called again.
    Result<void> syncNames();

    // Holds that much disk space in reserve, or as much of it as there is, and a file to use it.
    Result<void> holdReserve(uint64_t bytes);
    uint64_t reservedBytes() const { return reserve_.bytes(); }
    // Whether the next content has a file to be written to.
    bool hasSpare() const { return !spares_.empty(); }

    std::string pathOf(const std::string &name) const { return path_ + "/" + name; }

    // The files in the folder, by name.
    std::vector<FileSize> fileSizes() const { return fileSizesIn(path_); }
    static std::vector<FileSize> fileSizesIn(const std::string &path);

private:
    Result<void> openSpares();
    Result<DiskFile> openSpare(const std::string &path) const;
    Result<void> provideSpare();
    Result<void> writeSpare(DiskFile *spare, std::string_view content);
    static Result<void> writeAndSync(DiskFile *spare, std::string_view content);

    std::string path_;
    DiskCalls *calls_ = nullptr;
    int folder_ = -1;
    // Files that take the next contents to be written, with their names.
    struct Spare
    {
        std::string name;
        DiskFile file;
    };
    std::vector<Spare> spares_;
    DiskReserve reserve_;
    uint64_t nextSpare_ = 0;
    // Whether names were changed since the last sync of the folder, by this process or before it.
    bool hasUnsyncedNames_ = true;
};

} // namespace basilgap::replication

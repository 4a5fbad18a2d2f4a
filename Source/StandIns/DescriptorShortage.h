#pragma once

#include <sys/resource.h>

namespace basilgap::standins {

// While it exists, this process cannot open another descriptor.
class DescriptorShortage
{
public:
    DescriptorShortage()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit none{ 0, before_.rlim_max };
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~DescriptorShortage() { setrlimit(RLIMIT_NOFILE, &before_); }
    DescriptorShortage(const DescriptorShortage &) = delete;
    DescriptorShortage &operator=(const DescriptorShortage &) = delete;

private:
    rlimit before_{};
};

} // namespace basilgap::standins

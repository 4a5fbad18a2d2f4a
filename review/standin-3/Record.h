#pragma once

#include <fstream>
#include <string>

#include "Basilgap/Common/Millis.h"

namespace review {

// The record of a case: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : out_(path, std::ios::trunc)
        , startedAt_(basilgap::steadyNow())
    {}

    void add(const std::string &line)
    {
        out_ << (basilgap::steadyNow() - startedAt_).count() << " ms  " << line << std::endl;
    }

private:
    std::ofstream out_;
    basilgap::Millis startedAt_;
};

} // namespace review

#pragma once

#include <algorithm>

namespace basilgap::entry {

// Bounds the retries of one team to a part of its requests, so that retries can't multiply an
// overload.
class RetryBudget
{
public:
    // A first attempt was made.
    void deposit() { tokens_ = std::min(tokens_ + TokensPerRequest, MaxTokens); }

    // Takes what one retry costs; false when it is not there.
    bool tryWithdraw()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    static constexpr double TokensPerRequest = 0.2;
    static constexpr double MaxTokens = 20;

    double tokens_ = MaxTokens;
};

} // namespace basilgap::entry

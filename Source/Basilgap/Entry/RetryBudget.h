#pragma once

#include <algorithm>

namespace basilgap::entry {

// Limits the retries of one team to a fraction of its requests, so that retries can't amplify an
// overload.
class RetryBudget
{
public:
    // Credits the first attempt of a request.
    void deposit() { tokens_ = std::min(tokens_ + TokensPerRequest, MaxTokens); }

    // Takes the cost of one retry; false if the budget is exhausted.
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

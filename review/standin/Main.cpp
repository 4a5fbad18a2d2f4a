// Usage: review-case NAME FOLDER; writes FOLDER/record.txt.
#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "Cases.h"

int main(int argc, char **argv)
{
    const std::map<std::string, int (*)(const std::string &)> cases = {
        { "ends", review::runEnds },
        { "crashes", review::runCrashes },
        { "hopeless", review::runHopeless },
        { "hand-over", review::runHandOver },
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: review-case NAME FOLDER\n");
        return review::ExitCouldNotRun;
    }
    try {
        const int result = found->second(argv[2]);
        std::printf("%s: %s\n", argv[1],
            result == review::ExitHeld         ? "the rule held"
                : result == review::ExitBroken ? "the rule was broken"
                                               : "could not run");
        return result;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s: %s\n", argv[1], error.what());
        return review::ExitCouldNotRun;
    }
}

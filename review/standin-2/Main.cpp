#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>
#include <string>

#include "Cases.h"

namespace {

enum Exit { Held = 0, Broken = 1, CouldNotRun = 2 };

} // namespace

// Usage: review-cases NAME RECORD, in the repository's root. With TROUBLE=0 in the environment the
// disruption is left out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
int main(int argc, char **argv)
{
    if (argc != 3)
        return CouldNotRun;
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    review::Record record(argv[2]);
    for (const review::Case &each : review::Cases) {
        if (std::strcmp(each.name, argv[1]) != 0)
            continue;
        try {
            review::Cell cell(record);
            record.add(
                std::string("case ") + each.name + (hasTrouble ? "" : ", without disruption"));
            const bool held = each.run(cell, hasTrouble);
            record.add(held ? "case the rule held" : "case THE RULE WAS BROKEN");
            std::cout << (held ? "the rule held" : "the rule was broken") << std::endl;
            return held ? Held : Broken;
        } catch (const review::CannotRun &error) {
            record.add("case could not run: " + error.why);
            std::cout << "could not run: " << error.why << std::endl;
        } catch (const std::exception &error) {
            record.add(std::string("case could not run: ") + error.what());
            std::cout << "could not run: " << error.what() << std::endl;
        }
        return CouldNotRun;
    }
    std::cout << "no such case" << std::endl;
    return CouldNotRun;
}

#pragma once

#include "Cell.h"

namespace review {

// Each case returns whether its rule held. Without trouble it does the same without the disruption.
struct Case
{
    const char *name;
    bool (*run)(Cell &cell, bool hasTrouble);
};

bool runCrashedJob(Cell &cell, bool hasTrouble);
bool runFailingWatches(Cell &cell, bool hasTrouble);
bool runForeignHeartbeat(Cell &cell, bool hasTrouble);
bool runCrashLoop(Cell &cell, bool hasTrouble);
bool runHeadroom(Cell &cell, bool hasTrouble);
bool runLateStart(Cell &cell, bool hasTrouble);
bool runRenamedRoute(Cell &cell, bool hasTrouble);
bool runWaitingCount(Cell &cell, bool hasTrouble);
bool runLastingGang(Cell &cell, bool hasTrouble);

inline constexpr Case Cases[] = {
    { "failing-watches", runFailingWatches },
    { "foreign-heartbeat", runForeignHeartbeat },
    { "crashed-job", runCrashedJob },
    { "crash-loop", runCrashLoop },
    { "headroom", runHeadroom },
    { "late-start", runLateStart },
    { "renamed-route", runRenamedRoute },
    { "waiting-count", runWaitingCount },
    { "lasting-gang", runLastingGang },
};

} // namespace review

#pragma once

#include "Basilgap/Dispatch/Ports.h"
#include "Peer.pb.h"

// Calls to workers and their answers as messages between the leader and a relay.
namespace basilgap::dispatch {

void write(const StartOrder &order, schema::OrderCall *call);
void write(const StopOrder &order, schema::OrderCall *call);
void write(const ThrottleOrder &order, schema::OrderCall *call);
void write(const PollRequest &order, schema::OrderCall *call);

// The caller sets isStillWanted.
StartOrder readStart(const schema::StartCall &call);
StopOrder readStop(const schema::StopCall &call);
ThrottleOrder readThrottle(const schema::ThrottleCall &call);
PollRequest readPoll(const schema::PollCall &call);

// An order that was dropped counts as not sent: the leader did not ask for that.
void write(const OrderAnswer &answer, schema::RelayedAnswer *message);
void write(PollAnswer answer, schema::RelayedAnswer *message);

OrderAnswer readOrderAnswer(const schema::RelayedAnswer &message);
// Moves texts out of the message.
PollAnswer takePollAnswer(schema::RelayedAnswer *message);

} // namespace basilgap::dispatch

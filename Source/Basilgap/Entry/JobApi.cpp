// The job requests of CallerApi.

#include "Basilgap/Admin/Describe.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Entry/CallerApi.h"
#include "Basilgap/Entry/HttpBodies.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::entry {

namespace {

constexpr Millis JobTimeout{ 5000 };
constexpr size_t MaxJobBytes = 64 * 1024;
constexpr size_t MaxIdempotencyKeyLength = 255;

using network::errorResponse;
using network::HttpRequest;
using network::ResponderPointer;

network::HttpResponse leaderUnreachable(const Error &error, const std::string &outcome)
{
    return errorResponse({ .status = 503,
        .error = error.message,
        .outcome = outcome,
        .step = error.step,
        .retryAfterSeconds = 1 });
}

} // namespace

void CallerApi::handleJobRequest(
    const HttpRequest &request, const ResponderPointer &responder, const ViewStore::Caller &caller)
{
    const std::string path = request.path();
    if (path == "/v1/jobs" && request.method == "POST")
        return submitJob(request, responder, caller.team);
    JobId job;
    const bool isJobPath = path.size() > 9 && parseJobId(path.substr(9), &job);
    if (!isJobPath)
        return responder->answer(errorResponse({ .status = 404, .error = "no such job" }));
    if (request.method == "GET")
        return fetchJob(job, caller.team, responder, [responder](const schema::RpcReply &reply) {
            responder->answer(network::jsonMessage(200, admin::describeJob(reply.job(), reply)));
        });
    if (request.method == "DELETE")
        return fetchJob(job, caller.team, responder,
            [this, job, responder](const schema::RpcReply &) { cancelJob(job, responder); });
    responder->answer(errorResponse({ .status = 404, .error = "no such method for a job" }));
}

void CallerApi::submitJob(
    const HttpRequest &request, const ResponderPointer &responder, const TeamName &team)
{
    if (request.body.size() > MaxJobBytes)
        return responder->answer(
            errorResponse({ .status = 413, .error = "a job may have 64 KiB", .step = "read" }));
    schema::JobBody body;
    const auto parsed = network::parseJson(request.body, network::UnknownFields::Refuse, &body);
    if (!parsed)
        return responder->answer(errorResponse({ .status = 400,
            .error = parsed.error().message,
            .field = parsed.error().peer,
            .step = parsed.error().step }));
    const auto spec = readJob(body);
    if (!spec)
        return responder->answer(errorResponse({ .status = 422,
            .error = spec.error().message,
            .field = spec.error().peer,
            .step = spec.error().step }));
    const auto key = network::findHeader(request.headers, "Idempotency-Key");
    if (key && !network::isVisibleText(*key, MaxIdempotencyKeyLength))
        return responder->answer(errorResponse({ .status = 400,
            .error = "must have 1 to 255 visible characters",
            .field = "Idempotency-Key",
            .step = "accept" }));
    schema::RpcRequest rpc;
    schema::SubmitJob *submit = rpc.mutable_command()->mutable_submit_job();
    submit->set_team(team.value());
    *submit->mutable_spec() = *spec;
    // If the caller sent no idempotency key, a random one keeps resends of this RPC from submitting
    // the job twice.
    submit->set_key_hash(sha256(key ? "job:" + *key : randomKey()));
    submit->set_body_hash(sha256(submit->spec().SerializeAsString()));
    options_.rpc.call(rpc, JobTimeout, [responder](const Result<schema::RpcReply> &reply) {
        if (!reply)
            return responder->answer(leaderUnreachable(reply.error(), "unknown"));
        const schema::CommandOutcome &outcome = reply->outcome();
        if (outcome.code() != schema::ACCEPTED) {
            const bool invalid = outcome.code() == schema::INVALID;
            return responder->answer(errorResponse({ .status = 422,
                .error = outcome.message(),
                .field = invalid ? "perTask" : "Idempotency-Key" }));
        }
        schema::JobIdBody id;
        id.set_id(toText(JobId(outcome.job())));
        responder->answer(network::jsonMessage(202, id));
    });
}

// Fetches a job and answers 404 if it does not exist or belongs to another team.
void CallerApi::fetchJob(JobId job, const TeamName &team, const ResponderPointer &responder,
    std::function<void(const schema::RpcReply &)> onFound)
{
    schema::RpcRequest rpc;
    rpc.set_get_job(job.value());
    options_.rpc.call(
        rpc, JobTimeout, [responder, team, onFound](const Result<schema::RpcReply> &reply) {
            if (!reply)
                return responder->answer(leaderUnreachable(reply.error(), "not-run"));
            if (!reply->has_job() || reply->job().team() != team.value())
                return responder->answer(errorResponse({ .status = 404, .error = "no such job" }));
            onFound(*reply);
        });
}

void CallerApi::cancelJob(JobId job, const ResponderPointer &responder)
{
    schema::RpcRequest rpc;
    rpc.mutable_command()->mutable_cancel_jobs()->add_jobs(job.value());
    options_.rpc.call(rpc, JobTimeout, [job, responder](const Result<schema::RpcReply> &reply) {
        if (!reply)
            return responder->answer(leaderUnreachable(reply.error(), "unknown"));
        schema::JobIdBody id;
        id.set_id(toText(job));
        responder->answer(network::jsonMessage(202, id));
    });
}

} // namespace basilgap::entry

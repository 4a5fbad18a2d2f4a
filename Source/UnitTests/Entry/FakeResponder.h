#pragma once

#include <optional>

#include "Basilgap/Network/HttpServer.h"

namespace basilgap::entry {

// Records the answer instead of sending it.
class FakeResponder : public network::Responder
{
public:
    void answer(network::HttpResponse response) override { response_ = std::move(response); }
    void abort() override {}
    bool isCallerGone() const override { return false; }
    void onCallerGone(std::function<void()>) override {}

    bool isAnswered() const { return response_.has_value(); }
    int status() const { return response_ ? response_->status : 0; }

private:
    std::optional<network::HttpResponse> response_;
};

} // namespace basilgap::entry

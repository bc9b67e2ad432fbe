#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/permitwire.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// Encodes a frame and decodes it again from an aligned copy.
FramePtr sentAndReceived(FramePtr frame)
{
    const std::string bytes = encodeFrame(*frame).substr(FrameHeaderBytes);
    std::vector<std::uint64_t> aligned(bytes.size() / sizeof(std::uint64_t) + 1);
    auto *copy = reinterpret_cast<std::uint8_t *>(aligned.data());
    std::copy(bytes.begin(), bytes.end(), copy);
    auto decoded = decodeFrame(copy, bytes.size());
    REQUIRE(decoded);
    return std::move(*decoded);
}

} // namespace

TEST_CASE("Permits are requested and granted in frames")
{
    SECTION("a request arrives as it was sent")
    {
        const PermitRequest request{
            7,
            {{2, 1, 2, 80ms, {{{11, 16.7, 3ms}, {12, 0.0, 0ms}}, {{13, std::nullopt, 40ms}}, {}}},
             {0, 0, 0, 0ms, {}}}};
        const FramePtr frame = sentAndReceived(makeFrame(toWire(request)));
        REQUIRE(frame->body.AsPermitRequest() != nullptr);
        const PermitRequest received = fromWire(*frame->body.AsPermitRequest());
        CHECK(received.sequence == 7);
        CHECK(received.asks == request.asks);
    }
    SECTION("a reply arrives as it was sent")
    {
        const PermitReply reply{
            9, {{true, {{11, 0ms}, {13, 70ms}}, std::nullopt}, {false, {}, 250ms}}};
        const FramePtr frame = sentAndReceived(makeFrame(toWire(reply)));
        REQUIRE(frame->body.AsPermitReply() != nullptr);
        const PermitReply received = fromWire(*frame->body.AsPermitReply());
        CHECK(received.sequence == 9);
        CHECK(received.outcomes == reply.outcomes);
    }
    SECTION("loans are requested and granted as they were sent, rounded down")
    {
        const std::vector<HeardLimit> wanted{{11, 16.7, 3ms}, {12, 0.5, 0ms}};
        const FramePtr request = sentAndReceived(makeFrame(toWire(wanted, 3)));
        REQUIRE(request->body.AsLoanRequest() != nullptr);
        CHECK(request->body.AsLoanRequest()->sequence == 3);
        CHECK(fromWire(*request->body.AsLoanRequest()) == wanted);
        const FramePtr reply =
            sentAndReceived(makeFrame(toWire(std::vector<LimitLoan>{{11, 2.0009}}, 4)));
        REQUIRE(reply->body.AsLoanReply() != nullptr);
        CHECK(reply->body.AsLoanReply()->sequence == 4);
        CHECK(fromWire(*reply->body.AsLoanReply()) == std::vector<LimitLoan>{{11, 2.0}});
    }
    SECTION("sizes of parts that exceed the targets sent yield empty parts")
    {
        wire::PermitRequestT request;
        request.asks.push_back(std::make_unique<wire::PermitAskT>());
        request.asks[0]->part_sizes = {3, 200};
        request.asks[0]->targets = {wire::HeardLimit(1, 2, 3)};
        const PermitRequest received = fromWire(request);
        REQUIRE(received.asks.at(0).parts.size() == 2);
        CHECK(received.asks[0].parts[0].size() == 1);
        CHECK(received.asks[0].parts[1].empty());
    }
}

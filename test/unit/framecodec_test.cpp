#include <cstring>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "wire/framecodec.h"

using namespace mangoshift;

namespace {

using Bytes = std::vector<std::uint8_t>;

Bytes bodyOf(const FramePtr &frame)
{
    const std::string bytes = encodeFrame(*frame);
    return {bytes.begin() + FrameHeaderBytes, bytes.end()};
}

template <typename BodyT>
Bytes bodyWith(std::vector<std::uint64_t> BodyT::*numbers)
{
    BodyT body;
    body.*numbers = {1, 2, 3};
    return bodyOf(makeFrame(std::move(body)));
}

/// Moves a vector to the end of the frame, so that its elements start four bytes off alignment.
void misalign(Bytes &bytes, const flatbuffers::Vector<std::uint64_t> &numbers, const void *table,
              flatbuffers::voffset_t field)
{
    const auto *address = static_cast<const flatbuffers::Table *>(table)->GetAddressOf(field);
    const auto at = static_cast<std::size_t>(address - bytes.data());
    const auto *begin = reinterpret_cast<const std::uint8_t *>(&numbers);
    const Bytes copy(begin, numbers.Data() + numbers.size() * sizeof(std::uint64_t));
    bytes.resize((bytes.size() + FrameAlignment - 1) / FrameAlignment * FrameAlignment);
    const auto offset = static_cast<std::uint32_t>(bytes.size() - at);
    std::memcpy(bytes.data() + at, &offset, sizeof(offset));
    bytes.insert(bytes.end(), copy.begin(), copy.end());
}

} // namespace

TEST_CASE("A frame is decoded at aligned addresses only")
{
    GIVEN("a frame four bytes off alignment, as it is right after its header")
    {
        const std::string frame = encodeFrame(*makeFrame(wire::PingT()));
        const Bytes bytes(frame.begin(), frame.end());
        CHECK_FALSE(decodeFrame(bytes.data() + FrameHeaderBytes, bytes.size() - FrameHeaderBytes));
    }
    GIVEN("frames whose 64-bit vectors start four bytes off alignment")
    {
        const auto checkRejectedWhenMisaligned = [](Bytes bytes, auto bodyOfFrame, auto numbersOf,
                                                    auto field) {
            REQUIRE(decodeFrame(bytes.data(), bytes.size()));
            const auto *body = bodyOfFrame(*wire::GetFrame(bytes.data()));
            misalign(bytes, *numbersOf(*body), body, field);
            CHECK_FALSE(decodeFrame(bytes.data(), bytes.size()));
        };
        const auto shards = [](const auto &body) { return body.shards(); };
        SECTION("a batch")
        {
            checkRejectedWhenMisaligned(
                bodyWith(&wire::ShardBatchT::shards),
                [](const wire::Frame &frame) { return frame.body_as_ShardBatch(); }, shards,
                wire::ShardBatch::VT_SHARDS);
        }
        SECTION("a cancellation")
        {
            checkRejectedWhenMisaligned(
                bodyWith(&wire::CancelShardsT::shards),
                [](const wire::Frame &frame) { return frame.body_as_CancelShards(); }, shards,
                wire::CancelShards::VT_SHARDS);
        }
        SECTION("a configuration pull")
        {
            checkRejectedWhenMisaligned(
                bodyWith(&wire::ConfigPullT::hashes),
                [](const wire::Frame &frame) { return frame.body_as_ConfigPull(); },
                [](const auto &body) { return body.hashes(); }, wire::ConfigPull::VT_HASHES);
        }
        SECTION("a configuration reply")
        {
            checkRejectedWhenMisaligned(
                bodyWith(&wire::ConfigReplyT::part_hashes),
                [](const wire::Frame &frame) { return frame.body_as_ConfigReply(); },
                [](const auto &body) { return body.part_hashes(); },
                wire::ConfigReply::VT_PART_HASHES);
        }
    }
}

TEST_CASE("A frame whose tables share a text is rejected, as each would hold the text for itself")
{
    constexpr std::size_t textBytes = 64U << 10U;
    constexpr std::size_t tables = 500;
    flatbuffers::FlatBufferBuilder builder;
    const auto finish = [&builder](wire::Body type, auto body) {
        builder.Finish(wire::CreateFrame(builder, type, body.Union()));
        // Aligned as the buffers are from which frames are decoded.
        return Bytes(builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
    };
    const auto text = builder.CreateString(std::string(textBytes, 'x'));
    Bytes frame;

    SECTION("in the replies of shards")
    {
        std::vector<flatbuffers::Offset<wire::ShardReply>> replies;
        for (std::size_t i = 0; i < tables; ++i)
            replies.push_back(wire::CreateShardReply(builder, i, 0, 0, 0, 0, 0, 0, text));
        const auto vector = builder.CreateVector(replies);
        frame = finish(wire::Body::ShardReplies, wire::CreateShardReplies(builder, 1, vector));
    }

    SECTION("in the parts of a configuration, of which all are one table")
    {
        const std::vector<flatbuffers::Offset<wire::ConfigPart>> parts(
            tables, wire::CreateConfigPart(builder, 1, text));
        const auto vector = builder.CreateVector(parts);
        frame = finish(wire::Body::ConfigReply, wire::CreateConfigReply(builder, 1, 0, vector));
    }

    SECTION("in the updates of a heartbeat, which fits into a datagram")
    {
        const auto shorter = builder.CreateString(std::string(1000, 'x'));
        const std::vector<flatbuffers::Offset<wire::MemberInfo>> updates(
            tables, wire::CreateMemberInfo(builder, shorter, shorter, shorter, shorter));
        const auto vector = builder.CreateVector(updates);
        wire::HeartbeatBuilder heartbeat(builder);
        heartbeat.add_updates(vector);
        frame = finish(wire::Body::Heartbeat, heartbeat.Finish());
    }

    const auto decoded = decodeFrame(frame.data(), frame.size());
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error() == "frame unpacks to more than its length");
}

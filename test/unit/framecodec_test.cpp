#include <cstring>
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

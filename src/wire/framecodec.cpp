#include "wire/framecodec.h"

#include <algorithm>

namespace mangoshift {

namespace {

bool isAligned(const std::uint8_t *bytes)
{
    return reinterpret_cast<std::uintptr_t>(bytes) % FrameAlignment == 0;
}

bool isAligned(const flatbuffers::Vector<std::uint64_t> *numbers)
{
    return numbers == nullptr || numbers->size() == 0 || isAligned(numbers->Data());
}

/// Checks a vector of structs with 64-bit integers.
template <typename Struct>
bool areStructsAligned(const flatbuffers::Vector<const Struct *> *structs)
{
    return structs == nullptr || structs->size() == 0 || isAligned(structs->Data());
}

bool areVectorsAligned(const wire::PermitRequest &request)
{
    const auto *asks = request.asks();
    return asks == nullptr || std::all_of(asks->begin(), asks->end(), [](const auto *ask) {
               return areStructsAligned(ask->targets());
           });
}

bool areVectorsAligned(const wire::PermitReply &reply)
{
    const auto *outcomes = reply.outcomes();
    return outcomes == nullptr
        || std::all_of(outcomes->begin(), outcomes->end(),
                       [](const auto *outcome) { return isAligned(outcome->targets()); });
}

/// Checks the alignment of vectors of 64-bit integers, alone or in structs. The verifier of
/// FlatBuffers 2.0 checks only that the four-byte length of a vector is aligned, not the elements
/// that follow it.
bool areVectorsAligned(const wire::Frame &frame)
{
    switch (frame.body_type()) {
    case wire::Body::ShardBatch:
        return isAligned(frame.body_as_ShardBatch()->shards());
    case wire::Body::CancelShards:
        return isAligned(frame.body_as_CancelShards()->shards());
    case wire::Body::ConfigPull:
        return isAligned(frame.body_as_ConfigPull()->hashes());
    case wire::Body::ConfigReply:
        return isAligned(frame.body_as_ConfigReply()->part_hashes());
    case wire::Body::PermitRequest:
        return areVectorsAligned(*frame.body_as_PermitRequest());
    case wire::Body::PermitReply:
        return areVectorsAligned(*frame.body_as_PermitReply());
    case wire::Body::LoanRequest:
        return areStructsAligned(frame.body_as_LoanRequest()->targets());
    case wire::Body::LoanReply:
        return areStructsAligned(frame.body_as_LoanReply()->loans());
    case wire::Body::CapacityReport:
        return areStructsAligned(frame.body_as_CapacityReport()->observations());
    case wire::Body::CapacityNews:
        return areStructsAligned(frame.body_as_CapacityNews()->outlooks());
    default:
        return true;
    }
}

std::size_t sizeOf(const flatbuffers::String *text)
{
    return text == nullptr ? 0 : text->size();
}

template <typename Element>
std::size_t sizeOf(const flatbuffers::Vector<Element> *elements)
{
    return elements == nullptr ? 0 : elements->size() * sizeof(Element);
}

template <typename Struct>
std::size_t sizeOf(const flatbuffers::Vector<const Struct *> *structs)
{
    return structs == nullptr ? 0 : structs->size() * sizeof(Struct);
}

std::size_t sizeOf(const wire::MemberInfo &member)
{
    return sizeOf(member.vm()) + sizeOf(member.failure_domain()) + sizeOf(member.region())
        + sizeOf(member.peer_address());
}

std::size_t sizeOf(const wire::RegisteredTarget &target)
{
    return sizeOf(target.id()) + sizeOf(target.service()) + sizeOf(target.address())
        + sizeOf(target.failure_domain());
}

std::size_t sizeOf(const wire::ShardReply &reply)
{
    return sizeOf(reply.rows());
}

std::size_t sizeOf(const wire::ConfigPart &part)
{
    return sizeOf(part.text());
}

std::size_t sizeOf(const wire::BudgetCount &count)
{
    return sizeOf(count.service());
}

std::size_t sizeOf(const wire::PermitAsk &ask)
{
    return sizeOf(ask.part_sizes()) + sizeOf(ask.targets());
}

std::size_t sizeOf(const wire::PermitOutcome &outcome)
{
    return sizeOf(outcome.targets()) + sizeOf(outcome.valid_in_ms());
}

/// Returns the sum of the sizes of tables, in bytes.
template <typename Table>
std::size_t sizeOfAll(const flatbuffers::Vector<flatbuffers::Offset<Table>> *tables)
{
    std::size_t sum = 0;
    if (tables != nullptr)
        for (const Table *table : *tables)
            sum += sizeOf(*table);
    return sum;
}

/// Returns how many bytes of texts and numbers the tables of a frame hold once they are unpacked.
/// Several tables may refer to the same text, which each of them then holds for itself. A frame
/// that was packed by `encodeFrame` has a text of its own for each.
std::size_t unpackedSize(const wire::Frame &frame)
{
    switch (frame.body_type()) {
    case wire::Body::ShardReplies:
        return sizeOfAll(frame.body_as_ShardReplies()->replies());
    case wire::Body::ConfigReply:
        return sizeOfAll(frame.body_as_ConfigReply()->parts());
    case wire::Body::Heartbeat:
        return sizeOfAll(frame.body_as_Heartbeat()->updates());
    case wire::Body::MembersPull:
        return sizeOfAll(frame.body_as_MembersPull()->known());
    case wire::Body::MembersReply:
        return sizeOfAll(frame.body_as_MembersReply()->known());
    case wire::Body::StateReply:
        return sizeOfAll(frame.body_as_StateReply()->targets());
    case wire::Body::BudgetAsk:
        return sizeOfAll(frame.body_as_BudgetAsk()->counts());
    case wire::Body::BudgetGrant:
        return sizeOfAll(frame.body_as_BudgetGrant()->counts());
    case wire::Body::PermitRequest:
        return sizeOfAll(frame.body_as_PermitRequest()->asks());
    case wire::Body::PermitReply:
        return sizeOfAll(frame.body_as_PermitReply()->outcomes());
    default:
        return 0;
    }
}

} // namespace

tl::expected<std::size_t, std::string> decodeFrameLength(const std::uint8_t (&header)[4])
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i)
        length |= static_cast<std::size_t>(header[i]) << (8U * i);
    if (length == 0 || length > MaxFrameBytes)
        return tl::make_unexpected("frame length " + std::to_string(length) + " is outside 1 to "
                                   + std::to_string(MaxFrameBytes));
    return length;
}

tl::expected<FramePtr, std::string> decodeFrame(const std::uint8_t *bytes, std::size_t size)
{
    if (!isAligned(bytes))
        return tl::make_unexpected(std::string("frame does not start at an aligned address"));
    flatbuffers::Verifier verifier(bytes, size);
    if (!wire::VerifyFrameBuffer(verifier))
        return tl::make_unexpected(std::string("frame fails verification"));
    const wire::Frame &packed = *wire::GetFrame(bytes);
    if (packed.body_type() == wire::Body::NONE || packed.body() == nullptr)
        return tl::make_unexpected(std::string("frame has no body"));
    if (!areVectorsAligned(packed))
        return tl::make_unexpected(std::string("64-bit vector in the frame is not aligned"));
    if (unpackedSize(packed) > size)
        return tl::make_unexpected(std::string("frame unpacks to more than its length"));
    FramePtr frame(packed.UnPack());
    if (frame->body.value == nullptr)
        return tl::make_unexpected(std::string("frame has no body"));
    return frame;
}

std::string encodeFrame(const wire::FrameT &frame)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Frame::Pack(builder, &frame));
    const std::size_t size = builder.GetSize();
    std::string bytes;
    bytes.reserve(FrameHeaderBytes + size);
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i)
        bytes.push_back(static_cast<char>((size >> (8U * i)) & 0xffU));
    bytes.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), size);
    return bytes;
}

} // namespace mangoshift

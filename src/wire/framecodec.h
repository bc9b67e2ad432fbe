#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include <frames_generated.h>

namespace mangoshift {

/// The version of the protocol between VMs, sent in each `Hello` frame.
constexpr std::uint16_t PeerProtocolVersion = 1;
/// The size of the frame header: the length of the frame, little-endian, in bytes.
constexpr std::size_t FrameHeaderBytes = 4;
/// The alignment in bytes at which a frame has to start in memory to be decoded.
constexpr std::size_t FrameAlignment = 8;
/// The maximum length of a frame without its header, in bytes.
constexpr std::size_t MaxFrameBytes = 8U << 20U;

using FramePtr = std::unique_ptr<wire::FrameT>;

/// Returns a frame with `body`.
template <typename BodyT>
FramePtr makeFrame(BodyT body)
{
    auto frame = std::make_unique<wire::FrameT>();
    frame->body.Set(std::move(body));
    return frame;
}

/// Returns the length in bytes of the frame that follows `header`, or an error if the length is
/// zero or over `MaxFrameBytes`.
tl::expected<std::size_t, std::string> decodeFrameLength(const std::uint8_t (&header)[4]);
/// Verifies and unpacks a frame from its bytes without the header. The bytes, and every vector of
/// 64-bit integers in the frame, must start at a multiple of `FrameAlignment`. Returns an error if
/// the frame is invalid.
tl::expected<FramePtr, std::string> decodeFrame(const std::uint8_t *bytes, std::size_t size);
/// Packs a frame and prepends its header.
std::string encodeFrame(const wire::FrameT &frame);

} // namespace mangoshift

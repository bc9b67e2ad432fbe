#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "http/targetchannels.h"
#include "mangoshift/routing.h"
#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// The names of the headers that mean something to the entry VM.
struct EntryHeaderNames
{
    TargetHeaderNames target;
    /// A target's receipt for a request that it has run.
    std::string receipt;
    /// Stands in a target's answer to a request that it has not run.
    std::string notRun;
    /// In a merged answer: the receipts of the parts that are in.
    std::string partReceipts;
    /// In a merged answer: how many parts are missing.
    std::string missingParts;
};

/// An entry that names no target and no routes, with the reason; or one whose key means nothing.
struct UnreadableEntry
{
    std::string why;
};
struct RemovedEntry
{
};

/// One entry of the store, decoded.
struct StoreEntry
{
    std::string key;
    /// The target that the key stands for; empty where it stands for none.
    TargetId targetId;
    std::variant<RoutingDocument, RegisteredTarget, UnreadableEntry, RemovedEntry> value;
    /// The bytes of the operator's configuration, to be passed on to other VMs as they are.
    std::string configuration;
};

/// What a listing or a watch brought.
struct StoreResponse
{
    std::vector<StoreEntry> entries;
    /// The store's revision at the time of the answer.
    std::uint64_t revision = 0;
    /// The last key of the answer, also where its entry concerns nothing that is decoded.
    std::string lastKey;
    /// Whether a listing goes on behind the last key.
    bool isTruncated = false;
};

/// Translates between the entry VM and one platform: names, formats and calls, no decisions.
struct WireAdapter
{
    EntryHeaderNames headers;
    /// Where the balancer asks whether this VM takes requests.
    std::string readyPath;
    /// Return the request target of a call to the store.
    std::function<std::string(const std::string &afterKey)> listingUri;
    std::function<std::string(std::uint64_t revision, std::chrono::milliseconds wait)> watchUri;
    /// Decodes the bytes of the operator's configuration; the error names the field at fault.
    std::function<tl::expected<RoutingDocument, std::string>(std::string_view)> parseConfiguration;
    /// Decode a body of the store; the error says what is wrong with it as a whole.
    std::function<tl::expected<StoreResponse, std::string>(std::string_view body)> parseListing;
    std::function<tl::expected<StoreResponse, std::string>(std::string_view body)> parseChanges;
};

} // namespace mangoshift

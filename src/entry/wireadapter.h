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
#include "mangoshift/targetstanding.h"

namespace mangoshift {

/// The names of the headers that the entry VM reads or writes.
struct EntryHeaderNames
{
    TargetHeaderNames target;
    /// In a target's response: the receipt for a request that it has run.
    std::string receipt;
    /// In a target's response: says that the request has not run.
    std::string notRun;
    /// In a merged answer: the receipts of the parts that it contains.
    std::string partReceipts;
    /// In a merged answer: how many parts are missing.
    std::string missingParts;
};

/// An entry whose value cannot be decoded, and the reason.
struct UnreadableEntry
{
    std::string why;
};
struct RemovedEntry
{
};

/// The operators' request that nothing be sent to the targets of a failure domain, or its end.
struct EvacuationEntry
{
    std::string failureDomain;
    bool isRequested = false;
    /// Why the value cannot be decoded; empty if it can. The request counts in any case.
    std::string fault;
};

/// One decoded entry of the store.
struct StoreEntry
{
    std::string key;
    /// The id of the target that the key names; empty if the key names no target.
    TargetId targetId;
    /// The revision at which the entry last changed; zero if the store does not say.
    std::uint64_t revision = 0;
    std::variant<RoutingDocument, RegisteredTarget, EvacuationEntry, UnreadableEntry, RemovedEntry>
        value;
    /// The bytes of the operator's configuration, which are forwarded to other VMs unchanged.
    std::string configuration;
};

/// The response to a listing or a watch.
struct StoreResponse
{
    /// In the order of the response. Of several configurations, only the last valid one and the
    /// invalid ones after it: one that is replaced in the same response never comes in force, and
    /// decoding it takes long.
    std::vector<StoreEntry> entries;
    /// The store's revision at the time of the response.
    std::uint64_t revision = 0;
    /// The last key of the response, even if its entry is not decoded.
    std::string lastKey;
    /// Whether the listing has further entries after the last key.
    bool isTruncated = false;
};

/// Translates between the entry VM and one platform: names, formats and calls. Makes no decisions.
struct WireAdapter
{
    EntryHeaderNames headers;
    /// The path on which the balancer checks whether this VM is ready.
    std::string readyPath;
    /// Decodes what a target says about itself in a response.
    std::function<TargetNotice(const HttpResponse &)> decodeNotice;
    /// Return the path and query of a request to the store.
    std::function<std::string(const std::string &afterKey)> listingUri;
    std::function<std::string(std::uint64_t revision, std::chrono::milliseconds wait)> watchUri;
    /// Decodes the bytes of the operator's configuration; the error names the field at fault.
    std::function<tl::expected<RoutingDocument, std::string>(std::string_view)> parseConfiguration;
    /// Decode the body of a response of the store; the error says why the body as a whole is
    /// invalid.
    std::function<tl::expected<StoreResponse, std::string>(std::string_view body)> parseListing;
    std::function<tl::expected<StoreResponse, std::string>(std::string_view body)> parseChanges;
};

} // namespace mangoshift

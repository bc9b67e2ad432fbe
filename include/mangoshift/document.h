#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mangoshift {

/// Identifies a shard of a service: a 64-bit hash of both names, the same in every VM and in every
/// version of the configuration.
struct ShardKey
{
    std::uint64_t value = 0;
    auto operator<=>(const ShardKey &) const = default;
};

/// Returns the key of the shard called `shard` of the service called `service`.
ShardKey shardKey(std::string_view service, std::string_view shard);

/// The version of a configuration: the platform's revision. Zero means none.
using ConfigVersion = std::uint64_t;

/// A back end that serves one or more shards.
struct Target
{
    std::string name;
    /// IP address and port, such as `127.0.2.1:9101`.
    std::string address;
    std::string failureDomain;
    /// How many requests the target runs at once.
    std::uint32_t slots = 1;
    /// How many connections the target accepts, from all VMs together.
    std::uint32_t connections = 1;
};

/// One part of a service's data. Each replica holds all of it.
struct Shard
{
    std::string name;
    ShardKey key;
    /// Indices into `Document::targets`.
    std::vector<std::size_t> replicas;
};

/// A class of requests that share a priority.
struct RequestKind
{
    std::string name;
    /// Zero is the highest priority. Under overload, greater values are refused first.
    std::uint8_t priority = 0;
    /// Whether a request of this kind may safely run more than once.
    bool isIdempotent = true;
};

/// A set of shards that callers query together, under one name.
struct Service
{
    std::string name;
    /// Index into `Document::kinds`.
    std::size_t kind = 0;
    /// The longest time that a request may take, and the default deadline of requests without one.
    std::chrono::milliseconds deadline{100};
    /// Whether a query with missing shards gets a partial answer at the deadline, or an error.
    bool partialAnswers = true;
    std::vector<Shard> shards;
};

/// The validated configuration document of the operators: all targets, services and request kinds.
struct Document
{
    ConfigVersion version = 0;
    /// The version that this document was edited from; zero for a first document.
    ConfigVersion baseVersion = 0;
    std::vector<RequestKind> kinds;
    std::vector<Target> targets;
    std::vector<Service> services;
    /// Whether the document may remove more than half of the targets at once.
    bool allowMassRemoval = false;

    /// Returns the service called `name`, or a null pointer if there is none.
    const Service *service(std::string_view name) const;
};

/// A shard of a document and the service that it belongs to.
struct ShardRef
{
    const Service *service = nullptr;
    const Shard *shard = nullptr;
};

/// A document with an index by shard key. Immutable, so it may be shared between threads.
class IndexedDocument
{
public:
    explicit IndexedDocument(Document document);
    IndexedDocument(const IndexedDocument &) = delete;
    IndexedDocument &operator=(const IndexedDocument &) = delete;

    const Document &document() const { return m_document; }
    /// Returns the shard with `key` and its service, or null pointers if there is none.
    ShardRef find(ShardKey key) const;

private:
    Document m_document;
    std::unordered_map<std::uint64_t, ShardRef> m_byKey;
};

using DocumentPtr = std::shared_ptr<const IndexedDocument>;

} // namespace mangoshift

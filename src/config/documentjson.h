#pragma once

#include <cstddef>
#include <string>

#include <tl/expected.hpp>

#include "config/fault.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// The maximum size of a document, which is the limit of the platform's configuration service.
constexpr std::size_t MaxDocumentBytes = 1'000'000;

/// Parses the operators' configuration document from JSON text.
///
/// Checks its size, then its structure against `schemas/document.schema.json`, then its semantics.
/// The error lists all faults of the first check that fails. `version` is the platform's revision
/// of the text.
tl::expected<Document, Faults> parseDocument(const std::string &text, ConfigVersion version);

} // namespace mangoshift

#pragma once

#include "call.h"
#include "callrefusal.h"

#include <mimosatally/Config>
#include <mimosatally/Http>

#include <nlohmann/json_fwd.hpp>

namespace mimosatally::internal
{

/// \brief Estimated number of bytes of prompt text per token, typical of English text.
constexpr std::int64_t BYTES_PER_TOKEN = 4;

/// \brief Path of a request target, without the query.
std::string_view pathOf(std::string_view target);

/// \brief Returns true if a POST to \a path is a request to a model.
bool isModelPath(std::string_view path);

/// \brief Parses a request to a model. Customer, times and expected output are left for the calling code to set.
/// \throws CallRefusedError
Call readModelCall(const HttpRequest &request, const ConfigurationState &state);

/// \brief Parses a request below `/services/`. Customer and times are left for the calling code to set. \throws CallRefusedError
Call readServiceCall(const HttpRequest &request, const ConfigurationState &state);

/// \brief Chained hashes of the blocks of \a blockBytes bytes of the prompt; an incomplete last block is left out.
std::vector<std::uint64_t> cacheBlockHashes(const ModelId &model, std::string_view prompt, std::size_t blockBytes);

/// \brief Returns true if an engine of the configuration serves \a model.
bool isServed(const ConfigurationState &state, const ModelId &model);

} // namespace mimosatally::internal

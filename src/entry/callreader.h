#pragma once

#include "call.h"
#include "callrefusal.h"

#include <mimosatally/Config>
#include <mimosatally/Http>

#include <nlohmann/json_fwd.hpp>

namespace mimosatally::internal
{

/// \brief Estimated number of bytes of prompt text for one token, usual for English text.
constexpr std::int64_t BYTES_PER_TOKEN = 4;

/// \brief Path of a target without its query.
std::string_view pathOf(std::string_view target);

/// \brief Whether a POST to \a path is a request to a model.
bool isModelPath(std::string_view path);

/// \brief Reads a request to a model. The customer, times and expected output are set by the caller of this function.
/// \throws CallRefusedError
Call readModelCall(const HttpRequest &request, const ConfigurationState &state);

/// \brief Reads a request below `/services/`; as readModelCall(). \throws CallRefusedError
Call readServiceCall(const HttpRequest &request, const ConfigurationState &state);

/// \brief Chained hashes over blocks of \a blockBytes of the prompt; an incomplete last block has none.
std::vector<std::uint64_t> cacheBlockHashes(const ModelId &model, std::string_view prompt, std::size_t blockBytes);

/// \brief Whether an engine of the configuration serves \a model.
bool isServed(const ConfigurationState &state, const ModelId &model);

} // namespace mimosatally::internal

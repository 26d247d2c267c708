#pragma once

#include "servingconfiguration.h"

#include <mimosatally/core/checkpoint.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct evp_md_ctx_st;
struct evp_md_st;

namespace mimosatally
{

/// \brief SHA-256 digests without an allocation per digest. One object serves one thread.
class KeyDigester
{
public:
    KeyDigester();

    [[nodiscard]] KeyDigest digest(std::string_view key) const;

private:
    struct Deleter {
        void operator()(evp_md_ctx_st *context) const;
        void operator()(evp_md_st *algorithm) const;
    };

    std::unique_ptr<evp_md_st, Deleter> algorithm_;
    std::unique_ptr<evp_md_ctx_st, Deleter> context_;
};

/// \brief First bytes of a digest as hexadecimal digits, by which log lines name a key.
[[nodiscard]] std::string digestPrefix(const KeyDigest &digest);

/// \brief Finds the organisation of a key. Keys are compared by their digests, so the time of a lookup tells nothing about them.
class KeyTable
{
public:
    /// \brief Table without organisations, which authenticates no calls.
    KeyTable() = default;
    /// \param checkpoint is called after each organisation, and after the keys are sorted.
    explicit KeyTable(std::shared_ptr<const ServingConfiguration> configuration, const Checkpoint &checkpoint = noCheckpoint);

    /// \brief Returns whether the configuration has organisations, so that calls need a key.
    [[nodiscard]] bool isActive() const;

    /// \brief Returns the organisation that a key with this digest belongs to; null if the key is unknown.
    [[nodiscard]] const Organisation *find(const KeyDigest &digest) const;

    /// \brief Length of the longest key in bytes; longer ones need not be hashed.
    [[nodiscard]] std::size_t maxKeyBytes() const;

    [[nodiscard]] std::size_t size() const;

    /// \brief Keys that the configuration gives to several organisations; each belongs to the first of them.
    [[nodiscard]] const std::vector<KeyDigest> &duplicates() const;

private:
    struct Entry {
        KeyDigest digest;
        std::uint32_t organisation = 0;
    };

    std::shared_ptr<const ServingConfiguration> configuration_;
    /// \brief Sorted by digest.
    std::vector<Entry> entries_;
    std::vector<KeyDigest> duplicates_;
};

} // namespace mimosatally

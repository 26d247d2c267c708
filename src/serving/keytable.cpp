#include "core/hex.h"

#include <mimosatally/serving/keytable.h>

#include <algorithm>
#include <array>
#include <openssl/evp.h>
#include <tuple>

namespace mimosatally
{

KeyDigester::KeyDigester()
    : algorithm_(EVP_MD_fetch(nullptr, "SHA256", nullptr))
    , context_(EVP_MD_CTX_new())
{
}

void KeyDigester::Deleter::operator()(evp_md_ctx_st *context) const
{
    EVP_MD_CTX_free(context);
}

void KeyDigester::Deleter::operator()(evp_md_st *algorithm) const
{
    EVP_MD_free(algorithm);
}

KeyDigest KeyDigester::digest(std::string_view key) const
{
    KeyDigest result {};
    const bool digested = algorithm_ && context_ && EVP_DigestInit_ex(context_.get(), algorithm_.get(), nullptr) == 1
                          && EVP_DigestUpdate(context_.get(), key.data(), key.size()) == 1 && EVP_DigestFinal_ex(context_.get(), result.data(), nullptr) == 1;
    if (!digested) {
        // A digest that was not written would be the same for all keys.
        throw Error("SHA-256 is not available");
    }
    return result;
}

std::string digestPrefix(const KeyDigest &digest)
{
    constexpr std::size_t prefixDigits = 8;
    return internal::toHex(digest).substr(0, prefixDigits);
}

KeyTable::KeyTable(std::shared_ptr<const ServingConfiguration> configuration, const Checkpoint &checkpoint)
    : configuration_(std::move(configuration))
{
    if (!isActive()) {
        return;
    }
    const std::vector<Organisation> none;
    const std::optional<std::vector<Organisation>> &configured = configuration_->organisations;
    const std::vector<Organisation> &organisations = configured ? *configured : none;
    std::size_t keys = 0;
    for (const Organisation &organisation : organisations) {
        keys += organisation.keys.size();
    }
    entries_.reserve(keys);
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        for (const KeyDigest &digest : organisations[i].keys) {
            entries_.push_back({digest, static_cast<std::uint32_t>(i)});
        }
        checkpoint();
    }
    std::ranges::sort(entries_, [](const Entry &left, const Entry &right) {
        return std::tie(left.digest, left.organisation) < std::tie(right.digest, right.organisation);
    });
    checkpoint();
    for (std::size_t i = 1; i < entries_.size(); ++i) {
        const bool repeated = entries_[i].digest == entries_[i - 1].digest && entries_[i].organisation != entries_[i - 1].organisation;
        if (repeated && (duplicates_.empty() || duplicates_.back() != entries_[i].digest)) {
            duplicates_.push_back(entries_[i].digest);
        }
    }
    const auto rest = std::ranges::unique(entries_, {}, &Entry::digest);
    entries_.erase(rest.begin(), rest.end());
    entries_.shrink_to_fit();
}

bool KeyTable::isActive() const
{
    return configuration_ && configuration_->organisations;
}

const Organisation *KeyTable::find(const KeyDigest &digest) const
{
    const auto found = std::ranges::lower_bound(entries_, digest, {}, &Entry::digest);
    if (found == entries_.end() || found->digest != digest) {
        return nullptr;
    }
    const std::optional<std::vector<Organisation>> &organisations = configuration_->organisations;
    return organisations ? &(*organisations)[found->organisation] : nullptr;
}

std::size_t KeyTable::maxKeyBytes() const
{
    return isActive() ? configuration_->maxKeyBytes : 0;
}

std::size_t KeyTable::size() const
{
    return entries_.size();
}

const std::vector<KeyDigest> &KeyTable::duplicates() const
{
    return duplicates_;
}

} // namespace mimosatally

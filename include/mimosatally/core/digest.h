#pragma once

#include <memory>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace mimosatally
{

/// \brief SHA-256 of \a data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// \brief Incremental SHA-256.
class Sha256
{
public:
    Sha256();
    ~Sha256();
    Sha256(Sha256 &&) noexcept;
    Sha256 &operator=(Sha256 &&) noexcept;

    void add(std::string_view data);

    /// \brief Digest of all data so far, as 64 lower-case hexadecimal digits; more data may follow.
    [[nodiscard]] std::string hex() const;

private:
    struct Deleter {
        void operator()(evp_md_ctx_st *context) const;
    };

    std::unique_ptr<evp_md_ctx_st, Deleter> context_;
};

/// \brief Compares two strings in time that depends on their length only.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace mimosatally

#include <mimosatally/core/linechain.h>

namespace mimosatally
{

void LineChain::add(std::string_view line)
{
    hash_.add(line);
    hash_.add("\n");
    ++lines_;
}

std::uint64_t LineChain::lines() const
{
    return lines_;
}

std::string LineChain::digest() const
{
    return hash_.hex();
}

void LineChain::beginSection(std::string_view digest)
{
    hash_ = Sha256();
    hash_.add(digest);
    lines_ = 0;
}

} // namespace mimosatally

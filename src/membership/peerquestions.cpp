#include <mimosatally/Membership>

#include <algorithm>

namespace mimosatally
{

void PeerQuestions::owe(std::size_t peers)
{
    owed_ = peers;
}

bool PeerQuestions::isOwed() const
{
    return owed_ > 0;
}

void PeerQuestions::pay()
{
    owed_ -= std::min(owed_, std::size_t(1));
}

std::optional<std::string> PeerQuestions::begin(const std::vector<std::string> &peers, const std::string &self)
{
    for (std::size_t tried = 0; tried < peers.size(); ++tried) {
        const std::string &peer = peers[next_++ % peers.size()];
        if (peer != self && !open_.contains(peer)) {
            open_.insert(peer);
            return peer;
        }
    }
    return std::nullopt;
}

void PeerQuestions::end(const std::string &peer)
{
    open_.erase(peer);
}

std::size_t PeerQuestions::open() const
{
    return open_.size();
}

} // namespace mimosatally

#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Decides which peer is asked next for the records of the store. Performs no I/O.
///
/// A peer has one open question at most, so one that does not answer holds up neither the others nor the caller.
class PeerQuestions
{
public:
    /// \brief Records that a snapshot was read: a store that has returned from an older copy may lack a version that peers have in force, so \a peers
    /// questions are owed beside those after failures.
    void owe(std::size_t peers);

    /// \brief Returns whether a peer is to be asked although the store has answered.
    [[nodiscard]] bool isOwed() const;

    /// \brief Counts a question that was owed.
    void pay();

    /// \brief Begins a question to the next peer in turn that is neither \a self nor being asked. \return empty if there is none.
    [[nodiscard]] std::optional<std::string> begin(const std::vector<std::string> &peers, const std::string &self);

    /// \brief Records that the question to \a peer has ended.
    void end(const std::string &peer);

    /// \brief Number of questions that are open.
    [[nodiscard]] std::size_t open() const;

private:
    std::set<std::string> open_;
    std::size_t next_ = 0;
    std::size_t owed_ = 0;
};

} // namespace mimosatally

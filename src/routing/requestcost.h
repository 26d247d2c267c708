#pragma once

namespace mimosatally::internal
{

/// \brief Running linear fit of engine seconds over tokens of a request.
///
/// Load reports carry the number and the tokens of requests. Few tokens of output cost as much engine time as many tokens of
/// prompt, so neither alone tells the engine time; the fit tells it from both.
class RequestCost
{
public:
    void add(double tokens, double seconds);
    /// \brief Engine seconds of \a requests with \a tokens in all.
    [[nodiscard]] double seconds(double requests, double tokens) const;

    [[nodiscard]] double meanSeconds() const
    {
        return meanSeconds_;
    }

private:
    bool known_ = false;
    double meanTokens_ = 0;
    double meanSeconds_ = 0;
    double meanSquaredTokens_ = 0;
    double meanProduct_ = 0;
};

} // namespace mimosatally::internal

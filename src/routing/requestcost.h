#pragma once

namespace mimosatally::internal
{

/// \brief Running linear fit of engine seconds over the tokens of a request.
///
/// Load reports contain the number of requests and their tokens. A few output tokens cost as much engine time as many prompt
/// tokens, so neither alone determines the engine time; the fit estimates it from both.
class RequestCost
{
public:
    void add(double tokens, double seconds);
    /// \brief Estimated engine seconds of \a requests requests with \a tokens tokens in total.
    [[nodiscard]] double seconds(double requests, double tokens) const;

    [[nodiscard]] double meanSeconds() const
    {
        return meanSeconds_;
    }

private:
    bool hasSamples_ = false;
    double meanTokens_ = 0;
    double meanSeconds_ = 0;
    double meanSquaredTokens_ = 0;
    double meanProduct_ = 0;
};

} // namespace mimosatally::internal

#include <mimosatally/Http>

namespace mimosatally
{

Completeness completenessOf(BodyFraming framing, BodyEnd end, ContentEnd content)
{
    if (content == ContentEnd::Within) {
        return Completeness::CutOff;
    }
    if (end == BodyEnd::Framing) {
        return Completeness::Whole;
    }
    if (framing != BodyFraming::ConnectionEnd || end != BodyEnd::ConnectionClosed || content == ContentEnd::BeforeFirstEvent) {
        return Completeness::CutOff;
    }
    return content == ContentEnd::Reached ? Completeness::Whole : Completeness::Unproven;
}

std::string_view toString(ContentEnd content)
{
    switch (content) {
    case ContentEnd::Opaque:
        return "opaque";
    case ContentEnd::Reached:
        return "reached";
    case ContentEnd::Within:
        return "within";
    case ContentEnd::BetweenEvents:
        return "between-events";
    case ContentEnd::BeforeFirstEvent:
        return "before-first-event";
    }
    return "opaque";
}

} // namespace mimosatally

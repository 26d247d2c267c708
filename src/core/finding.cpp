#include <mimosatally/Core>

namespace mimosatally
{

namespace
{
std::string joinLines(const std::vector<Finding> &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        if (!text.empty()) {
            text += '\n';
        }
        text += toString(finding);
    }
    return text;
}
} // namespace

std::string toString(const Finding &finding)
{
    std::string text = finding.location.file;
    if (finding.location.line > 0) {
        text += ':' + std::to_string(finding.location.line);
    }
    if (!text.empty()) {
        text += ": ";
    }
    return text + finding.message;
}

void Findings::add(SourceLocation location, std::string message)
{
    findings_.push_back({std::move(location), std::move(message)});
}

bool Findings::empty() const
{
    return findings_.empty();
}

const std::vector<Finding> &Findings::all() const
{
    return findings_;
}

void Findings::throwIfAny() const
{
    if (!findings_.empty()) {
        throw FindingsError(findings_);
    }
}

FindingsError::FindingsError(std::vector<Finding> findings)
    : std::runtime_error(joinLines(findings))
    , findings_(std::move(findings))
{
}

const std::vector<Finding> &FindingsError::findings() const
{
    return findings_;
}

} // namespace mimosatally

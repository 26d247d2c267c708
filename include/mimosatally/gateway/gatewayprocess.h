#pragma once

#include "gatewaysettings.h"

namespace mimosatally
{

/// \brief Runs a gateway until SIGTERM. \return exit code.
int runGateway(const GatewaySettings &settings);

} // namespace mimosatally

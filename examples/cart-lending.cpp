// Declares the services of the cart lending in the Sava region and prints them as TOML.

#include "plantaindrift/configuration/Declaration.h"
#include "plantaindrift/configuration/Printer.h"

#include <iostream>

using namespace plantaindrift;

int main()
{
    Declaration lending;
    // Bookings and live positions; few small servers, so a new one starts slowly and more of them are asked.
    lending.service(ServiceDeclaration("izposoja")
                        .tcp("10.30.0.10:443")
                        .udp("10.30.0.10:4430")
                        .target("izposoja-*")
                        .connections(2000)
                        .slots(3)
                        .huntLimit(6)
                        .slowStart(std::chrono::minutes(1))
                        .drainDeadline(std::chrono::hours(12)));
    // Photo uploads.
    lending.service(ServiceDeclaration("pregled")
                        .tcp("10.30.0.11:443")
                        .target("pregled-*")
                        .dataCentre("Bohinj")
                        .dataCentre("Radovljica")
                        .dataCentre("Kranj")
                        .connections(2000)
                        .slots(3)
                        .queuePerSlot(2));
    absl::StatusOr<Configuration> const configuration = lending.build();
    if (!configuration.ok()) {
        std::cerr << configuration.status().message() << '\n';
        return 2;
    }
    std::cout << printConfiguration(*configuration);
    return 0;
}

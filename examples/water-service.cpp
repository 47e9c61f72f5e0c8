// Declares the services of the water service in Sabaragamuwa and prints them as TOML.

#include "plantaindrift/configuration/Declaration.h"
#include "plantaindrift/configuration/Printer.h"

#include <iostream>

using namespace plantaindrift;

int main()
{
    Declaration water;
    // The standing feed of rota notices and the turn requests; a turn request must not run twice.
    water.service(ServiceDeclaration("rota-desk")
                      .tcp("10.20.0.10:443")
                      .target("rota-desk-*")
                      .dataCentre("Ratnapura")
                      .dataCentre("Kegalle")
                      .dataCentre("Balangoda")
                      .dataCentre("Embilipitiya")
                      .connections(2000)
                      .slots(7)
                      .drainDeadline(std::chrono::hours(24)));
    // Ledger uploads are long, so a leaving target gets two days to finish them.
    water.service(ServiceDeclaration("ledger-store")
                      .tcp("10.20.0.11:443")
                      .target("ledger-store-*")
                      .connections(2000)
                      .slots(7)
                      .queuePerSlot(1)
                      .drainDeadline(std::chrono::hours(48)));
    absl::StatusOr<Configuration> const configuration = water.build();
    if (!configuration.ok()) {
        std::cerr << configuration.status().message() << '\n';
        return 2;
    }
    std::cout << printConfiguration(*configuration);
    return 0;
}

#pragma once

#include "plantaindrift/store/ObjectStore.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace plantaindrift {

/// \brief Where the platform is and how long to wait for it.
struct HttpObjectStoreOptions {
    std::string url; ///< "http://A.B.C.D:PORT" or "https://A.B.C.D:PORT"
    std::string certificateAuthorityFile; ///< PEM; needed for https
    std::chrono::milliseconds timeout { 2000 };
    int attempts { 4 }; ///< of reads and of writes that surely had no effect
    std::chrono::milliseconds firstBackoff { 100 };
    std::chrono::milliseconds longestBackoff { 10000 };
    std::uint64_t randomSeed { 1 }; ///< of the backoff's jitter
};

/// \brief Object store over HTTP by libcurl; blocking, one instance a thread.
///
/// GET /v1/objects/KEY; PUT with If-None-Match: * (create) or If-Match: "VERSION" (update); DELETE with If-Match;
/// GET /v1/objects?prefix=P&after=K&limit=N; GET /v1/watch?prefix=P&after=VERSION&timeout_ms=T. The version is the ETag.
/// Lists and watches answer JSON: {"objects": [{"key": K, "value": V, "version": N}]}.
[[nodiscard]] std::unique_ptr<ObjectStore> makeHttpObjectStore(HttpObjectStoreOptions const& options);

} // namespace plantaindrift

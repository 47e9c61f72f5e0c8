#include "plantaindrift/runtime/Version.h"

#include "SourceDigest.h"

namespace plantaindrift {

std::string_view sourceDigest() noexcept
{
    return PLANTAINDRIFT_SOURCE_DIGEST;
}

} // namespace plantaindrift

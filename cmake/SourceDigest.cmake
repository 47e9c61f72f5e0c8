# Digest of the contents of all sources, which programs log at their start.
#
# Make and Ninja compare times, which say nothing if sources are laid out over a build folder of other sources: a program that
# compiles nothing, or only a part, is not the one of these sources. Object files that may be of other contents are removed here.

set(SOURCE_DIGESTS_FILE ${CMAKE_BINARY_DIR}/source-digests.txt)

file(GLOB_RECURSE DIGESTED_SOURCES CONFIGURE_DEPENDS
  include/*.h src/*.h src/*.cpp platform/*.h platform/*.cpp proto/*.h proto/*.cc programs/*.cpp)
list(SORT DIGESTED_SOURCES)

set(SOURCE_DIGESTS "")
foreach(source IN LISTS DIGESTED_SOURCES)
  file(SHA256 ${source} digest)
  file(RELATIVE_PATH name ${PROJECT_SOURCE_DIR} ${source})
  list(APPEND SOURCE_DIGESTS "${digest} ${name}")
endforeach()
string(SHA256 SOURCE_DIGEST "${SOURCE_DIGESTS}")
string(SUBSTRING ${SOURCE_DIGEST} 0 12 SOURCE_DIGEST)

# Returns in `isStale` whether a source has other contents than at the last configuration, and a time that does not tell.
function(find_stale_sources isStale)
  set(${isStale} FALSE PARENT_SCOPE)
  if(NOT EXISTS ${SOURCE_DIGESTS_FILE})
    set(${isStale} TRUE PARENT_SCOPE)
    return()
  endif()
  file(STRINGS ${SOURCE_DIGESTS_FILE} known)
  foreach(entry IN LISTS SOURCE_DIGESTS)
    if(entry IN_LIST known)
      continue()
    endif()
    string(REGEX REPLACE "^[^ ]+ " "" name "${entry}")
    if(NOT ${PROJECT_SOURCE_DIR}/${name} IS_NEWER_THAN ${SOURCE_DIGESTS_FILE})
      set(${isStale} TRUE PARENT_SCOPE)
      return()
    endif()
  endforeach()
endfunction()

find_stale_sources(HAS_STALE_SOURCES)
if(HAS_STALE_SOURCES)
  file(GLOB_RECURSE STALE_OBJECTS ${CMAKE_BINARY_DIR}/*.o)
  if(STALE_OBJECTS)
    message(STATUS "Removing object files of other sources")
    file(REMOVE ${STALE_OBJECTS})
  endif()
endif()
list(JOIN SOURCE_DIGESTS "\n" SOURCE_DIGESTS_TEXT)
file(WRITE ${SOURCE_DIGESTS_FILE} "${SOURCE_DIGESTS_TEXT}\n")

message(STATUS "Sources: ${SOURCE_DIGEST}")
file(CONFIGURE OUTPUT ${CMAKE_BINARY_DIR}/generated/SourceDigest.h CONTENT "#pragma once\n\n#define PLANTAINDRIFT_SOURCE_DIGEST \"@SOURCE_DIGEST@\"\n" @ONLY)

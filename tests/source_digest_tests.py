"""Guards against programs of former sources: sources that were laid over a build folder, with times before those of its object files,
were not compiled, or only in part."""
import os
import subprocess
import sys
import tempfile
import unittest

MODULE = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "cmake", "SourceDigest.cmake")
PROJECT = f"""cmake_minimum_required(VERSION 3.25)
project(digest LANGUAGES CXX)
include({MODULE})
add_executable(program src/main.cpp src/text.cpp)
target_include_directories(program PRIVATE ${{CMAKE_BINARY_DIR}}/generated)
"""
MAIN = """#include "SourceDigest.h"
#include <cstdio>
char const* text();
int main() { std::printf("%s %s", text(), PLANTAINDRIFT_SOURCE_DIGEST); }
"""
TEXT = """char const* text() {{ return "{text}"; }}
"""
LONG_AGO = 300_000_000  # seconds since 1970


class SourceDigestTests(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="plantaindrift-digest-")
        self.addCleanup(self.folder.cleanup)
        os.mkdir(self.path("src"))
        self.write("CMakeLists.txt", PROJECT)
        self.write("src/main.cpp", MAIN)

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def write(self, name, text, time=None):
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)
        if time is not None:
            os.utime(self.path(name), (time, time))

    def run_program(self):
        """Builds the program as the deploy file does, and returns the text and the digest that it prints."""
        for command in (["cmake", "-S", ".", "-B", "target"], ["cmake", "--build", "target"]):
            subprocess.run(command, cwd=self.folder.name, check=True, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        return subprocess.run([self.path("target/program")], check=True, stdout=subprocess.PIPE, text=True).stdout.split()

    def test_sources_that_are_older_than_the_objects_are_compiled(self):
        self.write("src/text.cpp", TEXT.format(text="former"))
        former = self.run_program()
        self.write("src/text.cpp", TEXT.format(text="current"), LONG_AGO)
        current = self.run_program()
        self.assertEqual([former[0], current[0]], ["former", "current"])
        self.assertNotEqual(former[1], current[1])

    def test_objects_of_a_version_without_digests_are_compiled_again(self):
        self.write("src/text.cpp", TEXT.format(text="former"))
        self.run_program()
        os.remove(self.path("target/source-digests.txt"))
        self.write("src/text.cpp", TEXT.format(text="current"), LONG_AGO)
        self.assertEqual(self.run_program()[0], "current")

    def test_sources_that_did_not_change_are_not_compiled_again(self):
        self.write("src/text.cpp", TEXT.format(text="current"))
        before = self.run_program()
        program = os.stat(self.path("target/program")).st_mtime_ns
        self.assertEqual(self.run_program(), before)
        self.assertEqual(os.stat(self.path("target/program")).st_mtime_ns, program)


if __name__ == "__main__":
    sys.exit(not unittest.main(exit=False).result.wasSuccessful())

#include <mimosatally/Cli>

int main(int argc, char **argv)
{
    return mimosatally::runCommandLine({argv + 1, argv + argc});
}

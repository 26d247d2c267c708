#include "../harness-3/takeup.h"

int main(int argc, char **argv)
{
    return bed::runCase(argc, argv, [](bed::Record &record) {
        return bed::takeup::run(record, bed::takeup::Way::Release);
    });
}

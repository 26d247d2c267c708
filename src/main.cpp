#include <mimosatally/Core>

#include <iostream>

int main()
{
    std::cout << "mimosatally " MIMOSATALLY_VERSION "\n";
    return 0;
}

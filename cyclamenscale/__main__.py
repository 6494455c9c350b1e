"""Entry point of ``python -m cyclamenscale``."""

from cyclamenscale.ui import main

if __name__ == "__main__":
    main()

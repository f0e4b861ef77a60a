"""Load and experiment tool behind ``snipelead bench``."""

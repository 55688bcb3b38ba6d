/*
 * Raw TCP client for malformed requests: sends standard input to HOST:PORT
 * unchanged and prints everything that it receives, until the peer closes the
 * connection.
 *
 * Arguments: HOST:PORT MILLISECONDS [half]. With "half", the sending direction is
 * closed after the input. Exit status: 0 the peer closed the connection, 1 nothing
 * was received for MILLISECONDS, 2 the connection or the output failed.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char *colon = argc > 2 ? strchr (argv[1], ':') : NULL;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  char buffer[65536];
  ssize_t size;

  if (colon == NULL)
    return 2;
  *colon = '\0';
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  if (inet_pton (AF_INET, argv[1], &address.sin_addr) != 1
      || connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    return 2;
  /* A failed send means a closed connection; data received before it is still printed. */
  while ((size = read (0, buffer, sizeof buffer)) > 0)
    if (send (fd, buffer, (size_t)size, MSG_NOSIGNAL) != size)
      break;
  if (argc > 3)
    shutdown (fd, SHUT_WR);
  while (poll (&poll_fd, 1, atoi (argv[2])) > 0)
    {
      size = recv (fd, buffer, sizeof buffer, 0);
      if (size <= 0)
        return 0;
      if (write (1, buffer, (size_t)size) != size)
        return 2;
    }
  return 1;
}

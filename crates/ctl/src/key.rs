//! `hickoryctl key`.

use bpaf::Bpaf;
use hickorycourse_settings::hash_key;

use crate::output::Failure;

/// Keys and hashes.
#[derive(Bpaf, Clone, Debug)]
pub enum KeyCommand {
    /// Print the hash of a key, as the settings hold it
    #[bpaf(command)]
    Hash {
        /// The key
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Draw a new key and print it with its hash
    #[bpaf(command)]
    New,
}

const KEY_BYTES: usize = 24;

/// Runs the command.
pub fn run(command: KeyCommand) -> Result<(), Failure> {
    match command {
        KeyCommand::Hash { key } => println!("{}", hash_key(&key)),
        KeyCommand::New => {
            let bytes: [u8; KEY_BYTES] = rand::random();
            let key: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            println!("key  {key}\nhash {}", hash_key(&key));
        }
    }
    Ok(())
}
